/** Whether this host takes requests, as the reducer last decided. */
export class Readiness {
  private current = {ready: false, reason: 'starting'};
  private readyBefore = false;

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

  set(ready: boolean, reason: string): void {
    this.current = {ready, reason};
    this.readyBefore ||= ready;
  }
}
