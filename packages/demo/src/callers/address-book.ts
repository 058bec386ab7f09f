import {request} from 'undici';
import {z} from 'zod';

const REQUEST_TIMEOUT_MS = 2_000;

const addressAnswerSchema = z.object({
  addresses: z.array(z.string()).min(1),
  keepForMs: z.number().nonnegative(),
});

interface KeptAnswer {
  readonly addresses: readonly string[];
  readonly untilMs: number;
}

/** What a caller asks an address for. */
export interface AddressQuery {
  readonly model?: string;
  readonly service?: string;
}

/** Asks which entry hosts to use and keeps each answer as long as it may. */
export class AddressBook {
  private readonly kept = new Map<string, KeptAnswer>();
  private next = 0;

  constructor(
    /** Addresses that a caller knows beforehand. */
    private readonly seeds: readonly string[],
    private readonly token: string,
  ) {}

  /** Addresses to try in order; empty when nobody answered. */
  async lookUp(query: AddressQuery): Promise<readonly string[]> {
    const key = JSON.stringify(query);
    const kept = this.kept.get(key);
    if (kept !== undefined && performance.now() < kept.untilMs) {
      return kept.addresses;
    }
    for (const seed of this.rotateSeeds()) {
      const answer = await this.ask(seed, query);
      if (answer !== undefined) {
        const untilMs = performance.now() + answer.keepForMs;
        this.kept.set(key, {addresses: answer.addresses, untilMs});
        return answer.addresses;
      }
    }
    return kept?.addresses ?? [];
  }

  /** The seeds, beginning with another one each time. */
  private rotateSeeds(): readonly string[] {
    const first = this.next++ % this.seeds.length;
    return [...this.seeds.slice(first), ...this.seeds.slice(0, first)];
  }

  private async ask(address: string, query: AddressQuery) {
    const search = new URLSearchParams({...query}).toString();
    try {
      const {statusCode, body} = await request(
        `http://${address}/v1/address?${search}`,
        {
          headers: {authorization: `Bearer ${this.token}`},
          signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
        },
      );
      const answer = addressAnswerSchema.safeParse(await body.json());
      return statusCode === 200 ? answer.data : undefined;
    } catch {
      return undefined;
    }
  }
}
