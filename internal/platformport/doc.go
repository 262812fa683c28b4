// Package platformport defines the interfaces between the daemons and the platform that they
// run on: a client for engines, a directory of engines, a sender of role commands, calls that
// only one daemon of the fleet makes at a time, and a proxy that a frontend calls.
//
// A platform adapter implements EngineClient, Directory, EngineCommands and SingletonCalls. It
// translates between the types of this package and the platform's own headers and paths. The
// adapter's frontend checks Proxy.Limits and Proxy.Ready, reads a caller's request into a
// Request, and passes the Request to Proxy.Forward with a ResponseWriter. This package contains
// no platform-specific names.
package platformport
