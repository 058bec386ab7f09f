/** Keeps the last entries, oldest first, up to a bound. */
export class BoundedRecord<Entry> {
  private readonly entries: Entry[] = [];
  private next = 0;

  constructor(private readonly capacity: number) {}

  add(entry: Entry): void {
    this.entries[this.next] = entry;
    this.next = (this.next + 1) % this.capacity;
  }

  /** All kept entries, oldest first. */
  list(): readonly Entry[] {
    return this.entries.length < this.capacity
      ? [...this.entries]
      : [...this.entries.slice(this.next), ...this.entries.slice(0, this.next)];
  }
}
