import type {Server} from '@basilworks/dispatch';

import type {LostSend} from './crash-detector.js';

/** What request handlers report about sends, as evidence of crashes. */
export interface CrashGuard {
  /** Records a send that its server interrupted. */
  recordInterrupted(server: Server, send: LostSend): void;
}

export const NO_CRASH_GUARD: CrashGuard = {
  recordInterrupted: () => undefined,
};
