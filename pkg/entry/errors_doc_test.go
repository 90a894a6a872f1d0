package entry

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/umbercrank/umbercrank/pkg/fault"
)

// errorsPage is the page with the table of error codes.
const errorsPage = "../../docs/ERRORS.md"

// documentedCodes returns the documented status and run state of each code.
func documentedCodes(t *testing.T) map[fault.Code]string {
	t.Helper()
	text, err := os.ReadFile(errorsPage)
	if err != nil {
		t.Fatal(err)
	}
	rows := make(map[fault.Code]string)
	for line := range strings.Lines(string(text)) {
		cells := strings.Split(strings.TrimSpace(line), "|")
		if len(cells) != 7 || !strings.HasPrefix(cells[1], " `") {
			continue
		}
		code := fault.Code(strings.Trim(cells[1], " `"))
		if _, twice := rows[code]; twice {
			t.Errorf("%s has two rows", code)
		}
		if strings.TrimSpace(cells[4]) == "" || strings.TrimSpace(cells[5]) == "" {
			t.Errorf("%s has an empty cell", code)
		}
		rows[code] = strings.TrimSpace(cells[2]) + " " + strings.Trim(cells[3], " `")
	}
	return rows
}

func TestEveryCodeIsDocumented(t *testing.T) {
	rows := documentedCodes(t)
	for _, code := range fault.Codes() {
		want := fmt.Sprintf("%d %s", fault.New(code, "").Status(), fault.New(code, "").RunState)
		if rows[code] != want {
			t.Errorf("%s: the page says %q, the code %q", code, rows[code], want)
		}
		delete(rows, code)
	}
	for code := range rows {
		t.Errorf("%s is documented but does not exist", code)
	}
}
