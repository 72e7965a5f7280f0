package doccheck

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

// Sources returns the text of the Go files below a folder for which keep is true, by path.
func Sources(dir string, keep func(path string) bool) (map[string]string, error) {
	out := map[string]string{}
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || !keep(path) {
			return err
		}
		raw, err := os.ReadFile(path)
		out[path] = string(raw)
		return err
	})
	return out, err
}
