/**
 * Bounds the number of open resources, such as connections. Beyond the bound
 * it closes the one that was used least recently, so that one that is in use
 * stays open however many others are opened and left.
 */
export class RecencyLimiter<T> {
  /** Ordered by last use, the least recent first. */
  private readonly resources = new Set<T>();

  constructor(
    private readonly maximum: number,
    private readonly close: (resource: T) => void,
  ) {}

  add(resource: T): void {
    this.resources.add(resource);
    if (this.resources.size > this.maximum) {
      const [oldest] = this.resources;
      if (oldest !== undefined) {
        this.resources.delete(oldest);
        this.close(oldest);
      }
    }
  }

  /** Records a use; has no effect on a resource that was not added. */
  touch(resource: T): void {
    if (this.resources.delete(resource)) {
      this.resources.add(resource);
    }
  }

  remove(resource: T): void {
    this.resources.delete(resource);
  }
}
