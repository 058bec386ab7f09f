/** Whether this host takes requests, as the reducer last decided. */
export class Readiness {
  private current = {ready: false, reason: 'starting'};
  private readyBefore = false;
  private isClosed = false;

  get ready(): boolean {
    return this.current.ready;
  }

  get reason(): string {
    return this.current.reason;
  }

  /**
   * Whether it took requests at any time. A host that stops answers callers
   * that still hold its address.
   */
  get hasBeenReady(): boolean {
    return this.readyBefore;
  }

  /** Whether a planned stop has come so far that requests are refused. */
  get closed(): boolean {
    return this.isClosed;
  }

  set(ready: boolean, reason: string): void {
    this.current = {ready, reason};
    this.readyBefore ||= ready;
  }

  close(): void {
    this.isClosed = true;
  }
}
