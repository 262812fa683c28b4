// Package settings defines the settings that all daemons share, reads them from the command line
// and from a settings file (INI), and checks them.
//
// A program passes its arguments to [ParseArguments], and the arguments that it returns to
// [ReadFile], which fills in what a settings file gives. Flags override the file. Names of the
// previous release (see [Renames]) are accepted with a warning in both places. Then the daemon
// calls the Check methods of its settings.
//
// On a platform that describes the machine by itself, a [Site] takes the place of both.
package settings
