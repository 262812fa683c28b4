package router

import (
	"github.com/phuslu/log"

	"coursepass/internal/state/config"
)

// installConfig applies the maintenance windows of a configuration that was received, and activates
// the configuration or keeps it pending.
func (r *Router) installConfig(view config.View) {
	r.maintenance.Update(r.clock.Now(), view.MaintenanceWindows)
	r.activateOrDeferConfig(&view)
}

// activateOrDeferConfig activates a configuration. In open gate mode, the configuration stays pending until the
// router may activate its first one.
func (r *Router) activateOrDeferConfig(view *config.View) {
	r.activationLock.Lock()
	defer r.activationLock.Unlock()
	if r.GateMode != gateModeOpen {
		r.activateConfig(view)
		return
	}
	r.pendingConfig = view
	r.activatePending()
}

// activateIfAllowed activates the pending configuration if this is allowed by now.
func (r *Router) activateIfAllowed() {
	r.activationLock.Lock()
	defer r.activationLock.Unlock()
	r.activatePending()
}

// activatePending activates the pending configuration if this is allowed by now. The caller holds
// activationLock.
func (r *Router) activatePending() {
	if r.pendingConfig == nil {
		return
	}
	previous := r.bootstrap.Basis()
	basis := r.bootstrap.Decide(r.clock.Now(), r.pendingConfig.Revision)
	if basis == BasisUnconfirmed {
		return
	}
	if previous == BasisUnconfirmed {
		log.Info().
			Str("router", r.Name).
			Uint64("revision", r.pendingConfig.Revision).
			Uint8("basis", uint8(basis)).
			Msg("first configuration activated")
	}
	view := r.pendingConfig
	r.pendingConfig = nil
	r.activateConfig(view)
}

// activateConfig makes a configuration the active one. The caller holds activationLock.
func (r *Router) activateConfig(view *config.View) {
	r.configView.Store(view)
	if r.dataPlane != nil {
		r.dataPlane.Configure(*view)
	}
	r.httpHandler.SetEvacuatedZones(r.DrainingZones(view))
}
