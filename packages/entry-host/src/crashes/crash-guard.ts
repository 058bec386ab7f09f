import type {Server} from '@basilworks/dispatch';

import type {LostSend} from './crash-detector.js';

/**
 * What shows whether a server lives on after the end of one of its connections:
 * it accepts connections or is silent; or it refuses them, having said that it
 * leaves, as other servers do to this host, or while peers confirm that or other
 * servers accept connections. Where a later start has its address it is gone.
 */
export type CloseEvidence =
  'open' | 'silent' | 'leaving' | 'unconfirmed' | 'gone';

/**
 * Protects servers from requests that crash them: takes what request handlers
 * observe, and knows which requests must not be sent.
 */
export interface CrashGuard {
  /** Whether the quarantine is known, so that requests may be sent. */
  isReady(): boolean;
  /** Records a send that its server interrupted. */
  recordInterrupted(server: Server, send: LostSend): void;
  /**
   * Records an answer that ended with its connection, which may also have been
   * the crash of its server.
   */
  recordClosed(server: Server, send: LostSend): void;
  /**
   * Finds out whether a server lives on after the end of one of its connections:
   * the end of a process closes them in the same way as the end of an answer.
   */
  checkClose(server: Server): Promise<CloseEvidence>;
  /** Records that no process listens at a server's address. */
  recordUnreachable(server: Server): void;
  /** Records a complete answer to a request with these keys. */
  recordCompleted(keys: readonly string[]): void;
  /** Returns a key that is in quarantine, if any. */
  quarantined(keys: () => readonly string[]): string | undefined;
  /**
   * Calls `listener` whenever a key comes into quarantine, until the returned
   * function is called.
   */
  onQuarantine(listener: () => void): () => void;
}

export const NO_CRASH_GUARD: CrashGuard = {
  isReady: () => true,
  recordInterrupted: () => undefined,
  recordClosed: () => undefined,
  checkClose: () => Promise.resolve('open'),
  recordUnreachable: () => undefined,
  recordCompleted: () => undefined,
  quarantined: () => undefined,
  onQuarantine: () => () => undefined,
};
