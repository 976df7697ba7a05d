package parser

// maxDistance is the largest edit distance at which a known name is suggested.
const maxDistance = 3

// Nearest returns the known name with the smallest edit distance to word, or an
// empty string if none is close.
func Nearest(word string, known []string) string { return nearest(word, known) }

func nearest(word string, known []string) string {
	best, bestDistance := "", maxDistance+1
	for _, name := range known {
		if d := distance(word, name); d < bestDistance && d < max(len(name), 1) {
			best, bestDistance = name, d
		}
	}
	return best
}

// distance returns the Levenshtein distance between a and b in bytes.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			next := min(row[j]+1, row[j-1]+1, diagonal+cost)
			diagonal, row[j] = row[j], next
		}
	}
	return row[len(b)]
}
