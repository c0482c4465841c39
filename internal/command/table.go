package command

import (
	"fmt"
	"io"

	"github.com/olekukonko/tablewriter"
	"github.com/olekukonko/tablewriter/renderer"
	"github.com/olekukonko/tablewriter/tw"
)

// section is a titled table in the output of a subcommand.
type section struct {
	title  string
	header []string
	rows   [][]any
}

// write renders the section as a table, or as "title: none" if it has no rows.
func (s section) write(w io.Writer) error {
	if len(s.rows) == 0 {
		fmt.Fprintf(w, "\n%s: none\n", s.title)
		return nil
	}
	fmt.Fprintf(w, "\n%s\n", s.title)
	t := tablewriter.NewTable(
		w,
		tablewriter.WithRenderer(renderer.NewBlueprint(tw.Rendition{
			Borders:  tw.BorderNone,
			Symbols:  tw.NewSymbols(tw.StyleNone),
			Settings: tw.Settings{Separators: tw.SeparatorsNone, Lines: tw.LinesNone},
		})),
		tablewriter.WithHeaderAutoFormat(tw.Off),
		tablewriter.WithHeaderAlignment(tw.AlignLeft),
		tablewriter.WithRowAlignment(tw.AlignLeft),
		tablewriter.WithRowAutoWrap(tw.WrapNone),
	)
	t.Header(s.header)
	for _, row := range s.rows {
		if err := t.Append(row...); err != nil {
			return err
		}
	}
	return t.Render()
}
