// Package examples embeds the settings of the two example deployments, each a
// directory as settings.LoadFS takes it.
package examples

import (
	"embed"
	"fmt"
	"io/fs"
)

//go:embed tocha-viva tsagaan-us
var files embed.FS

// The names of the deployments.
const (
	TochaViva = "tocha-viva"
	TsagaanUs = "tsagaan-us"
)

// Deployment returns the settings of one deployment.
func Deployment(name string) (fs.FS, error) {
	dir, err := fs.Sub(files, name)
	if err != nil {
		return nil, fmt.Errorf("examples: %s: %w", name, err)
	}
	return dir, nil
}
