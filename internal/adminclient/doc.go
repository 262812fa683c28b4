// Package adminclient implements the operators' commands: each command is a struct whose fields are
// its flags and arguments, and whose Run method calls the public HTTP API of control plane servers
// and routers and prints the result. Only those of [Credential] call nobody.
//
// Only [Client] knows how to find a server that can answer; commands that change the
// configuration embed [ChangeCommand], which makes a retried change take effect only once.
package adminclient
