interface Event {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

const precedes = (a: Event, b: Event): boolean =>
  a.at < b.at || (a.at === b.at && a.order < b.order);

/** Runs events in the order of their times; time advances only between events. */
export class VirtualTime {
  readonly #heap: Event[] = [];

  #order = 0;

  #now = 0;

  /** Milliseconds since the start of the run. */
  get now(): number {
    return this.#now;
  }

  after(ms: number, run: () => void): void {
    this.#order += 1;
    this.#push({ at: this.#now + ms, order: this.#order, run });
  }

  /** Advances the time by `ms` and runs all events that are due within it. */
  advance(ms: number): void {
    const end = this.#now + ms;
    while (this.#heap[0] && this.#heap[0].at <= end) {
      const event = this.#pop();
      this.#now = event.at;
      event.run();
    }
    this.#now = end;
  }

  #push(event: Event): void {
    const heap = this.#heap;
    let i = heap.push(event) - 1;
    while (i > 0) {
      const parent = Math.floor((i - 1) / 2);
      if (!precedes(event, heap[parent] as Event)) break;
      heap[i] = heap[parent] as Event;
      i = parent;
    }
    heap[i] = event;
  }

  #pop(): Event {
    const heap = this.#heap;
    const top = heap[0] as Event;
    const last = heap.pop() as Event;
    if (heap.length === 0) return top;
    let i = 0;
    for (;;) {
      let child = 2 * i + 1;
      if (child >= heap.length) break;
      const right = heap[child + 1];
      if (right && precedes(right, heap[child] as Event)) child += 1;
      if (!precedes(heap[child] as Event, last)) break;
      heap[i] = heap[child] as Event;
      i = child;
    }
    heap[i] = last;
    return top;
  }
}
