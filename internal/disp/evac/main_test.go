package evac

import (
	"testing"

	"github.com/gypsumlanding/gypsumlanding/internal/core/seed"
)

func TestMain(m *testing.M) { seed.Main(m, seed.Size{}) }
