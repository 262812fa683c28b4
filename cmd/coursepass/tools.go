package main

import (
	"context"
	"os"
	"time"

	"coursepass/internal/errcode"
	"coursepass/internal/faulttest/loadgen"
	"coursepass/internal/faulttest/localfleet"
	"coursepass/internal/transport"
)

// Run runs a fleet in this process, for a limited time if one is set.
func (f *fleetCommand) Run() error {
	configureLogging(f.LogLevel)
	fleet, err := localfleet.New(f.Settings)
	if err != nil {
		return err
	}
	ctx, stop := untilStopped()
	defer stop()
	if f.Seconds > 0 {
		boundedCtx, cancel := context.WithTimeout(ctx, time.Duration(f.Seconds)*time.Second)
		defer cancel()
		ctx = boundedCtx
	}
	return fleet.Run(ctx)
}

// Run generates load and prints the results. Answers that break a guarantee make it fail.
func (l *loadCommand) Run() error {
	generator, err := loadgen.New(l.Settings, transport.SystemNetwork)
	if err != nil {
		return err
	}
	ctx, stop := untilStopped()
	defer stop()
	results, err := generator.Run(ctx)
	if err != nil {
		return err
	}
	results.Print(os.Stdout, l.JSON)
	if count := len(results.Violations); count > 0 {
		return errcode.New(errcode.ExecutionFailed, "%d violations", count)
	}
	return nil
}
