package commands

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
	"gopkg.in/ini.v1"

	"dandelionsill.org/load/site"
	"dandelionsill.org/platform"
)

// waitCommand waits for URLs: scripts need no other HTTP client.
func waitCommand() *ffcli.Command {
	fs := flag.NewFlagSet("wait", flag.ExitOnError)
	timeout := fs.Duration("timeout", 20*time.Second, "longest wait")
	return &ffcli.Command{
		Name: "wait", ShortUsage: "dandelion-load wait [flags] URL…", ShortHelp: "Wait until each URL answers 200.", FlagSet: fs,
		Exec: func(ctx context.Context, urls []string) error {
			ctx, cancel := context.WithTimeout(ctx, *timeout)
			defer cancel()
			return errors.Trace(site.WaitURLs(ctx, urls))
		},
	}
}

// registerCommand puts VMs into the VM list's stand-in, as the platform does
// with the real one when it starts a VM.
func registerCommand(w io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("register", flag.ExitOnError)
	vms := fs.String("vms", "", "base URL of the VM list")
	state := fs.String("state", string(platform.VMLive), "live or leaving")
	return &ffcli.Command{
		Name: "register", ShortUsage: "dandelion-load register [flags] SETTINGS.ini…",
		ShortHelp: "Put the VMs of settings files into the VM list.", FlagSet: fs,
		Exec: func(ctx context.Context, files []string) error {
			for _, file := range files {
				vm, err := vmOf(file, platform.VMState(*state))
				if err != nil {
					return errors.Trace(err)
				}
				if err := site.SendJSON(ctx, http.MethodPut, *vms+"/vms/"+vm.Name, vm, nil); err != nil {
					return errors.Annotate(err, file)
				}
				fmt.Fprintf(w, "%s %s at %s is %s\n", vm.Role, vm.Name, vm.Addr, vm.State)
			}
			return nil
		},
	}
}

// vmOf reads a VM's row from its process's settings.
func vmOf(file string, state platform.VMState) (platform.VM, error) {
	f, err := ini.Load(file)
	if err != nil {
		return platform.VM{}, errors.Trace(err)
	}
	role := site.RoleEntry
	if f.HasSection("backend") {
		role = site.RoleAgent
	}
	s := f.Section("process")
	return platform.VM{
		Name: s.Key("name").String(), Role: role, Addr: s.Key("listen").String(), Region: s.Key("region").String(),
		FailureDomain: s.Key("failure_domain").String(), State: state,
	}, nil
}
