import test from 'ava';

import {
  QuotaAccount,
  type QuotaAnswer,
  type QuotaAsk,
  quotaBounds,
  QuotaMeter,
} from '../../index.js';

/** Almost no refill, so that all spent tokens were in the buckets initially. */
const BOUNDS = quotaBounds(
  {unit: 'requests', perSecond: 0.001, burst: 2, plainTokens: 1},
  {windowS: 100, share: 0, extra: 4},
);

/** Limits of a state space, which is explored exhaustively. */
interface Limits {
  readonly asks: number;
  readonly copies: number;
  readonly steps: number;
}

const SPACES: readonly Limits[] = [
  {asks: 2, copies: 1, steps: 1},
  {asks: 3, copies: 1, steps: 0},
];

const STEP_MS = 1_100;

/** An ask without needs, to read the balance. */
const WATCH: QuotaAsk = {
  serial: 1,
  allowance: 0,
  spent: 0,
  lapsed: 0,
  wish: 0,
  needs: [],
  refused: 0,
};

type MeterName = 'meter' | 'follower';
type Message = {readonly askedMs: number; readonly holder: number} & (
  | {readonly to: MeterName; readonly ask: QuotaAsk}
  | {readonly to: 'holder'; readonly answer: QuotaAnswer}
);

/** Two holders, a meter, its successor, and the messages between them. */
class GrantModel {
  nowMs = 0;
  spent = 0;
  asks = 0;
  copies = 0;
  steps = 0;
  readonly messages: Message[] = [];
  private readonly meters: Readonly<Record<MeterName, QuotaMeter>> = {
    meter: new QuotaMeter(BOUNDS, this.at(-1e7)),
    follower: new QuotaMeter(BOUNDS, this.at(0)),
  };

  constructor(
    private readonly holders: readonly QuotaAccount[],
    private readonly limits: Limits,
  ) {}

  /** Tokens taken from the buckets. */
  get granted(): number {
    return Object.values(this.meters).reduce(
      (sum, meter, index) => sum + (index === 0 ? 2 : 0) - levelOf(meter, this),
      0,
    );
  }

  at(ms = this.nowMs) {
    return {monotonicMs: ms, wallMs: ms};
  }

  /** All possible next actions. */
  actions(): readonly string[] {
    return [
      ...[0, 1].flatMap((holder) =>
        this.asks < this.limits.asks
          ? [`ask ${holder} meter`, `ask ${holder} follower`]
          : [],
      ),
      ...[0, 1]
        .filter((holder) => this.holder(holder).available(this.at()) >= 1)
        .map((holder) => `spend ${holder}`),
      ...this.messages.flatMap((_message, index) => [
        `deliver ${index}`,
        ...(this.copies < this.limits.copies ? [`double ${index}`] : []),
      ]),
      ...(this.steps < this.limits.steps ? ['wait'] : []),
    ];
  }

  act(action: string): void {
    const [verb = '', which, to] = action.split(' ');
    const index = Number(which);
    if (verb === 'ask') {
      this.asks += 1;
      const ask = this.holder(index).ask([1], this.at());
      const askedMs = this.nowMs;
      this.messages.push({askedMs, holder: index, to: to as MeterName, ask});
    } else if (verb === 'spend') {
      this.holder(index).trySpend(1, this.at());
      this.spent += 1;
    } else if (verb === 'wait') {
      this.steps += 1;
      this.nowMs += STEP_MS;
    } else {
      this.copies += verb === 'double' ? 1 : 0;
      const [message] =
        verb === 'double'
          ? [this.messages[index]]
          : this.messages.splice(index, 1);
      if (message !== undefined) {
        this.deliver(message);
      }
    }
  }

  key(): string {
    return JSON.stringify(this, (_name, value: unknown) =>
      value instanceof Set || value instanceof Map ? [...value] : value,
    );
  }

  private deliver(message: Message): void {
    const {askedMs, holder} = message;
    if (message.to === 'holder') {
      const askedAt = this.at(askedMs);
      this.holder(holder).applyAnswer(message.answer, askedAt, this.at());
    } else {
      const meter = this.meters[message.to];
      const answer = meter.answer(`${holder}`, message.ask, this.at());
      this.messages.push({askedMs, holder, to: 'holder', answer});
    }
  }

  private holder(index: number): QuotaAccount {
    const holder = this.holders[index];
    if (holder === undefined) {
      throw new Error('no such holder');
    }
    return holder;
  }
}

const levelOf = (meter: QuotaMeter, model: GrantModel): number =>
  meter.answer('watcher', WATCH, model.at()).balance;

/** Explores all action sequences; returns the state count and first fault. */
const explore = (limits: Limits, holder: () => QuotaAccount) => {
  const play = (path: readonly string[]) => {
    const model = new GrantModel([holder(), holder()], limits);
    for (const action of path) {
      model.act(action);
    }
    return model;
  };
  const seen = new Set<string>();
  const open: (readonly string[])[] = [[]];
  for (let path = open.pop(); path !== undefined; path = open.pop()) {
    const model = play(path);
    const key = model.key();
    if (seen.has(key)) {
      continue;
    }
    seen.add(key);
    // The refill in this time is far less than one request.
    if (model.spent > model.granted + 0.5) {
      return {states: seen.size, fault: path.join(', ')};
    }
    for (const action of model.actions()) {
      open.push([...path, action]);
    }
  }
  return {states: seen.size, fault: undefined};
};

/** Faulty account that adds the rise of an answer again if it is repeated. */
class DoubleCountingAccount extends QuotaAccount {
  private added = 0;
  private asked = 0;

  override ask(needs: readonly number[], at: ReturnType<GrantModel['at']>) {
    const ask = super.ask(needs, at);
    this.asked = ask.allowance;
    return ask;
  }

  override applyAnswer(
    answer: QuotaAnswer,
    askedAt: ReturnType<GrantModel['at']>,
    at: ReturnType<GrantModel['at']>,
  ): number {
    this.added += answer.allowance - this.asked;
    const doubled = {...answer, allowance: this.added};
    return super.applyAnswer(doubled, askedAt, at);
  }
}

for (const limits of SPACES) {
  const {asks, steps} = limits;
  test(`${asks} asks, ${steps} waits: no message order spends tokens that were not granted`, (t) => {
    const {states, fault} = explore(limits, () => new QuotaAccount(BOUNDS));
    t.log(`${states} states`);
    t.is(fault, undefined);
  });

  test(`${asks} asks, ${steps} waits: an injected double spend is found`, (t) => {
    const {states, fault} = explore(
      limits,
      () => new DoubleCountingAccount(BOUNDS),
    );
    t.log(`${states} states, ${fault}`);
    t.not(fault, undefined);
  });
}
