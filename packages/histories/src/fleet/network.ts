import type {Random, Scheduler} from '@basilworks/stand-ins';

/** What is wrong with the network at present. */
export interface NetworkFaults {
  /** Share of messages that are lost. */
  lossShare: number;
  /** Share of messages that arrive twice. */
  repeatShare: number;
  /** Share of the object API's answers that are lost. */
  lostAnswerShare: number;
  /** Longest delay of a message, milliseconds. */
  maximumDelayMs: number;
}

const USUAL_FAULTS: NetworkFaults = {
  lossShare: 0,
  repeatShare: 0,
  lostAnswerShare: 0,
  maximumDelayMs: 4,
};

/**
 * Carries messages between hosts and outside systems with delays that reorder
 * them, and loses or repeats some.
 */
export class Network {
  private faults: NetworkFaults = {...USUAL_FAULTS};
  private readonly cutLinks = new Set<string>();

  constructor(
    private readonly scheduler: Scheduler,
    private readonly random: Random,
  ) {}

  /** Switches faults; those left out stay as they are. */
  setFaults(faults: Partial<NetworkFaults>): void {
    this.faults = {...this.faults, ...faults};
  }

  /** Ends every fault and joins every link. */
  heal(): void {
    this.faults = {...USUAL_FAULTS};
    this.cutLinks.clear();
  }

  /** Cuts the link between two nodes, in both directions. */
  cut(first: string, second: string): void {
    this.cutLinks.add(linkKey(first, second));
  }

  join(first: string, second: string): void {
    this.cutLinks.delete(linkKey(first, second));
  }

  /** Whether messages between two nodes arrive at all. */
  isCut(first: string, second: string): boolean {
    return this.cutLinks.has(linkKey(first, second));
  }

  /** Sends one message, which may be lost, late or repeated. */
  send(from: string, to: string, deliver: () => void): void {
    if (this.isCut(from, to) || this.random() < this.faults.lossShare) {
      return;
    }
    this.scheduler.schedule(this.delayMs(), deliver);
    if (this.random() < this.faults.repeatShare) {
      this.scheduler.schedule(this.delayMs(), deliver);
    }
  }

  /** Sends one byte stream's message, which arrives once or never. */
  sendOnce(from: string, to: string, deliver: () => void): void {
    if (!this.isCut(from, to) && this.random() >= this.faults.lossShare) {
      this.scheduler.schedule(this.delayMs(), deliver);
    }
  }

  /** Whether the object API's next answer is lost. */
  losesAnswer(): boolean {
    const {lostAnswerShare} = this.faults;
    return lostAnswerShare > 0 && this.random() < lostAnswerShare;
  }

  /** A delay as the next message might have. */
  delayMs(): number {
    return this.random() * this.faults.maximumDelayMs;
  }
}

const linkKey = (first: string, second: string): string =>
  first < second ? `${first}|${second}` : `${second}|${first}`;
