package sequencer

// heapElement is an element of an indexedHeap.
type heapElement[E any] interface {
	less(E) bool
	position() *int
}

// indexedHeap is a binary min-heap whose elements store their position, so that
// any of them can be moved or removed in logarithmic time. An element that is in
// no heap has position -1.
type indexedHeap[E heapElement[E]] struct{ elements []E }

func (h *indexedHeap[E]) len() int { return len(h.elements) }

// top returns the least element. The heap must not be empty.
func (h *indexedHeap[E]) top() E { return h.elements[0] }

func (h *indexedHeap[E]) push(e E) {
	h.elements = append(h.elements, e)
	*e.position() = len(h.elements) - 1
	h.up(len(h.elements) - 1)
}

func (h *indexedHeap[E]) remove(e E) {
	i, last := *e.position(), len(h.elements)-1
	h.swap(i, last)
	var none E
	h.elements[last] = none
	h.elements = h.elements[:last]
	if i < last {
		h.fix(h.elements[i])
	}
	*e.position() = -1
}

// fix restores the heap order after the element's key has changed.
func (h *indexedHeap[E]) fix(e E) {
	i := *e.position()
	if !h.down(i) {
		h.up(i)
	}
}

func (h *indexedHeap[E]) swap(i, j int) {
	h.elements[i], h.elements[j] = h.elements[j], h.elements[i]
	*h.elements[i].position() = i
	*h.elements[j].position() = j
}

func (h *indexedHeap[E]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.elements[i].less(h.elements[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// down sifts an element down and reports whether it moved.
func (h *indexedHeap[E]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.elements) {
			break
		}
		if right := child + 1; right < len(h.elements) && h.elements[right].less(h.elements[child]) {
			child = right
		}
		if !h.elements[child].less(h.elements[i]) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > start
}
