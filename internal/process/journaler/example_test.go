package journaler_test

import (
	"fmt"
	"os"

	"hyssoprudder/internal/process/journaler"
)

func ExampleOpen() {
	folder, err := os.MkdirTemp("", "journal")
	if err != nil {
		panic(err)
	}
	j, _ := journaler.Open(folder, journaler.Options{})
	_ = j.SaveState(journaler.State{Identity: "id", Term: 1})
	_ = j.Append([]journaler.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}})
	_ = j.Append([]journaler.Entry{{Index: 2, Term: 2}}) // replaces the end of the log
	_ = j.Close()

	j, _ = journaler.Open(folder, journaler.Options{})
	for _, e := range j.LoadedEntries() {
		fmt.Println(e.Index, e.Term)
	}
	_ = j.Close()
	_ = os.RemoveAll(folder)
	// Output:
	// 1 1
	// 2 2
}
