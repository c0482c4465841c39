package main

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// program is the program of the deploy file, in the repository's root.
const program = "target/chervilhaven-platform"

// instance is a machine of the system with its process.
type instance struct {
	name      string
	zone      string
	ip        netip.Addr
	packets   netip.AddrPort
	readiness netip.AddrPort
	control   netip.AddrPort
	command   *exec.Cmd
	log       *os.File
}

// settings returns the settings file of the instance, in the form of the operators' page.
func (i *instance) settings(seeds []string, store netip.AddrPort, zones []string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "node-name = %q\nrole = \"instance\"\nmachine-class = \"front\"\nserves = [\"front\",\"control\"]\nip = %q\nzone = %q\nregion = \"region\"\n", i.name, i.ip, i.zone)
	fmt.Fprintf(&b, "internal-ports = [%d,%d]\nseeds = [%s]\nbootstrap = true\nin-tolerance = false\ndiscovery = \"platform\"\nentry = \"announce\"\nheartbeat-ms = %d\n",
		internalPort, internalPort+15, strings.Join(seeds, ","), heartbeat.Milliseconds())
	b.WriteString("flow-hash = \"mod\"\nforwarding-mode = \"echo\"\n[zones]\n")
	for _, z := range zones {
		fmt.Fprintf(&b, "%s = \"region\"\n", z)
	}
	fmt.Fprintf(&b, "[listen]\npackets = %q\nreadiness = %q\ncontrol = %q\n", i.packets, i.readiness, i.control)
	b.WriteString("[limits]\ncpu-share = 0.4\ncores = 1\nmemory-mb = 284\nfile-descriptors = 4100\nlink-mbps = 1000.0\ndisk-mb = 0\n")
	b.WriteString("[fault-tolerance]\nmachines = 1\nzones = 1\nregions = 0\n")
	b.WriteString("[bounds]\nseed-lag-s = 3\nreuse-delay-s = 2\ncontact-ms = 4000\nack-timeout-ms = 5000\ncatch-up-s = 4\ndrain-timeout-ms = 3000\ngrace-s = 6\nloss-slack-ms = 200\n")
	b.WriteString("config-apply-ms = 3000\nrollback-slack-ms = 250\nmax-stretch-ms = 12000\ncold-overage = 1.5\ncold-slack = 5\nevacuation-ms = 5000\nrecovery-s = 12\nflow-reorder-ms = 2000\nflow-lifetime-s = 60\n")
	fmt.Fprintf(&b, "[platform]\naddress = %q\nforwarding-mode = \"read\"\nwrites-per-s = 400\nreads-per-s = 2000\nhistory-s = 20\nvalue-bytes = 1048576\nttl-min-ms = 1000\n", store)
	return b.String()
}

// start starts the process of the instance with the command of the deploy file.
func (i *instance) start(folder, settings string) error {
	path := filepath.Join(folder, i.name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(folder, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	i.log = log
	i.command = exec.Command(program, "serve")
	i.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "CHERVILHAVEN_SETTINGS=" + path}
	i.command.Stdout, i.command.Stderr = log, log
	return i.command.Start()
}

// kill ends the process.
func (i *instance) kill() {
	if i.command == nil || i.command.Process == nil {
		return
	}
	_ = i.command.Process.Kill()
	_ = i.command.Wait()
	_ = i.log.Close()
	i.command = nil
}
