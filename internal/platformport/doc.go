// Package platformport holds the interfaces between the router and the platform that it
// runs on. The product states here, in its own types, what it needs: a client of engines,
// a directory of engines, a sender of role commands, calls that one daemon of the fleet makes at a
// time, and a proxy that a frontend drives.
//
// An adapter of a platform implements EngineClient, Directory, EngineCommands and SingletonCalls, and
// translates between these types and the platform's own headers and paths. Its frontend
// reads a caller's request into a Request, asks Proxy.Limits and Proxy.Ready first, and then
// calls Proxy.Forward with a ResponseWriter. Nothing in this package knows a platform's names.
package platformport
