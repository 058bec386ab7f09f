import type {PrefilledPrompt, ServerGap} from '../servers/index.js';
import {CLOSE_GAP_SHARE} from './prefill-pace.js';

/** What this host has to report to issuers about prompts and event gaps. */
export class PromptReports {
  private prefilled: readonly PrefilledPrompt[] = [];
  private readonly gaps = new Map<string, ServerGap>();

  constructor(
    /** Called when a prompt was prefilled, which lets the next one go. */
    private readonly scheduleReport: () => void,
  ) {}

  /** Records that an announced prompt is no longer pending at its server. */
  recordPrefilled(prompt: PrefilledPrompt): void {
    this.prefilled = [...this.prefilled, prompt];
    this.scheduleReport();
  }

  /** Records a gap between two events, if it is close to its target. */
  recordGap(gap: ServerGap): void {
    const {server, gapMs, targetMs} = gap;
    const known = this.gaps.get(server);
    if (
      gapMs >= targetMs * CLOSE_GAP_SHARE &&
      gapMs / targetMs >
        (known === undefined ? 0 : known.gapMs / known.targetMs)
    ) {
      this.gaps.set(server, gap);
    }
  }

  /** Returns and forgets all that was recorded. */
  take(): {
    readonly prefilled: readonly PrefilledPrompt[];
    readonly gaps: readonly ServerGap[];
  } {
    const taken = {prefilled: this.prefilled, gaps: [...this.gaps.values()]};
    this.prefilled = [];
    this.gaps.clear();
    return taken;
  }
}
