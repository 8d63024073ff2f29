package wal

import (
	"testing"

	"marigoldshunt/internal/seedtest"
)

func TestMain(m *testing.M) { seedtest.Main(m) }
