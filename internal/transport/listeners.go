package transport

import "net"

// Listeners are the two sockets of a daemon: the internal one for the daemons of the fleet, the public one
// for clients and operators.
type Listeners struct{ Internal, Public net.Listener }

// Listen opens both sockets of a daemon. After an error the internal one may be open.
func Listen(network Network, internal, public string) (Listeners, error) {
	listeners := Listeners{}
	var err error
	if listeners.Internal, err = network.Listen(internal); err != nil {
		return listeners, err
	}
	listeners.Public, err = network.Listen(public)
	return listeners, err
}
