package main

import (
	"context"
	"os/signal"
	"syscall"

	"coursepass/internal/clock"
	"coursepass/internal/controlplane"
	"coursepass/internal/dataplane/router"
	"coursepass/internal/faulttest/emulator"
	"coursepass/internal/settings"
	"coursepass/internal/transport"
)

// untilStopped returns a context that ends when the process is asked to stop.
func untilStopped() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// daemon is a control plane server or a router.
type daemon interface {
	Run(context.Context, transport.Listeners) error
}

// serve opens a daemon's sockets and runs it until the process is asked to stop.
func serve(process daemon, common settings.Common, internal settings.Internal) error {
	listeners, err := transport.Listen(transport.SystemNetwork, internal.InternalAddress, common.Public)
	if err != nil {
		return err
	}
	ctx, stop := untilStopped()
	defer stop()
	return process.Run(ctx, listeners)
}

// Run runs a control plane server.
func (c *coreCommand) Run() error {
	configureLogging(c.LogLevel)
	server, err := controlplane.New(c.Settings, settings.NewIncarnation(), transport.SystemNetwork)
	if err != nil {
		return err
	}
	return serve(server, c.Common, c.Internal)
}

// Run runs a router.
func (r *routerCommand) Run() error {
	configureLogging(r.LogLevel)
	routerDaemon, err := router.New(r.Settings, settings.NewIncarnation(), transport.SystemNetwork)
	if err != nil {
		return err
	}
	return serve(routerDaemon, r.Common, r.Internal)
}

// Run runs an emulated engine.
func (e *engineCommand) Run() error {
	configureLogging(e.LogLevel)
	observer := emulator.NewObserver(clock.Microseconds(e.LeaseMilliseconds) * clock.Millisecond)
	if e.RunLogFile != "" {
		runLog, err := emulator.OpenRunLog(e.RunLogFile)
		if err != nil {
			return err
		}
		observer.RunLog = runLog
	}
	engine, err := emulator.New(e.Settings, observer, transport.SystemNetwork)
	if err != nil {
		return err
	}
	listener, err := transport.SystemNetwork.Listen(e.Address)
	if err != nil {
		return err
	}
	ctx, stop := untilStopped()
	defer stop()
	return engine.Run(ctx, listener)
}
