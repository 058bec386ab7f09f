import type {AreaName} from '../area.js';
import type {StoreOperation, StoreRespondedEvent} from '../store.js';
import type {Turn} from '../turn.js';

/** Milliseconds after which a call counts as `unknown`. */
export const STORE_CALL_TIMEOUT_MS = 2_000;

/**
 * The calls to the object API that one area waits for, each with the purpose
 * that its answer serves.
 */
export class StoreCalls<Purpose> {
  private readonly waiting = new Map<string, Purpose>();
  private sequence = 0;

  constructor(private readonly area: AreaName) {}

  /** Asks for a call; `take` returns the purpose when its answer arrives. */
  start(turn: Turn, purpose: Purpose, operation: StoreOperation): void {
    const correlation = String(this.sequence++);
    this.waiting.set(correlation, purpose);
    turn.perform({
      type: 'store-request',
      area: this.area,
      correlation,
      operation,
      timeoutMs: STORE_CALL_TIMEOUT_MS,
    });
  }

  /**
   * Removes and returns the purpose of an answered call; undefined for an
   * answer that was given before.
   */
  take({correlation}: StoreRespondedEvent): Purpose | undefined {
    const purpose = this.waiting.get(correlation);
    this.waiting.delete(correlation);
    return purpose;
  }
}
