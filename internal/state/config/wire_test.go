package config_test

import (
	"bytes"
	"encoding/gob"
	"testing"

	"coursepass/internal/errcode"
	"coursepass/internal/state/config"
)

// TestApply_TextOfMalformedOperation checks the texts of outcomes for log entries that can't be
// decoded. Replicas of different builds must return the same texts, since outcomes are compared.
func TestApply_TextOfMalformedOperation(t *testing.T) {
	var other bytes.Buffer
	if err := gob.NewEncoder(&other).Encode(struct{ Unknown int }{1}); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		data []byte
		text string
	}{
		{nil, "EOF"},
		{other.Bytes(), "gob: type mismatch: no fields matched compiling decoder for Operation"},
	} {
		outcome, err := config.DecodeOutcome(config.NewState().Apply(test.data))
		if err != nil {
			t.Fatal(err)
		}
		if outcome.Code != errcode.MalformedMessage || outcome.Text != test.text {
			t.Errorf("outcome is %+v, want code %d and text %q", outcome, errcode.MalformedMessage, test.text)
		}
	}
}
