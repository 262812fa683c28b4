// Package layering holds the order of the project's packages and a test that imports only point downward in it.
package layering
