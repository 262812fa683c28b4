package compat

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// The permissions of golden files and their directory.
const (
	goldenDirectoryMode = 0o755
	goldenFileMode      = 0o644
)

// Golden is the command that writes the golden files of all samples. It is run when something
// new is sent or stored. A file that an earlier build wrote is replaced only where
// compatibility with that build is given up on purpose.
type Golden struct {
	Out string `long:"out" description:"directory of the golden files" default:"internal/compat/testdata/golden"`
}

// Run writes the files that are missing or have other content, and prints their names. A file
// with the same content isn't touched, although ids of types and the order of maps may differ.
func (g *Golden) Run() error {
	if err := os.MkdirAll(g.Out, goldenDirectoryMode); err != nil {
		return err
	}
	samples := Samples()
	written := 0
	for _, sample := range samples {
		changed, err := g.write(sample)
		if err != nil {
			return fmt.Errorf("%s: %w", sample.File(), err)
		}
		if changed {
			fmt.Println("written:", sample.File())
			written++
		}
	}
	fmt.Printf("%d of %d golden files written\n", written, len(samples))
	return nil
}

// write writes the file of a sample unless it has the same content.
func (g *Golden) write(sample Sample) (changed bool, err error) {
	path := filepath.Join(g.Out, sample.File())
	current, err := sample.Encode()
	if err != nil {
		return false, err
	}
	previous, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return false, err
	}
	if err == nil {
		same, err := sample.sameContent(previous, current)
		if err == nil && same {
			return false, nil
		}
		// A file that can't be described is broken, and is replaced.
	}
	return true, os.WriteFile(path, current, goldenFileMode)
}

// sameContent reports whether two encodings of the sample mean the same to a reader.
func (s Sample) sameContent(left, right []byte) (bool, error) {
	first, err := s.Describe(left)
	if err != nil {
		return false, err
	}
	second, err := s.Describe(right)
	return first == second, err
}
