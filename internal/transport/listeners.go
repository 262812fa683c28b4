package transport

import "net"

// Listeners holds the two listening sockets of a daemon: Internal for the other daemons of the fleet, Public
// for clients and operators.
type Listeners struct{ Internal, Public net.Listener }

// Listen opens both listening sockets of a daemon. If it fails, the internal socket may
// still be open.
func Listen(network Network, internal, public string) (Listeners, error) {
	listeners := Listeners{}
	var err error
	if listeners.Internal, err = network.Listen(internal); err != nil {
		return listeners, err
	}
	listeners.Public, err = network.Listen(public)
	return listeners, err
}
