import type {PriorityClass} from '@basilworks/core';
import type {Deployment, Random} from '@basilworks/stand-ins';

/** One adapter of the sheet. */
export interface CatalogueAdapter {
  readonly adapter: string;
  /** Version that requests may name. */
  readonly version: string;
  /** Versions that may be in force; two while a change is on its way. */
  readonly versions: readonly string[];
  readonly priorityClass: PriorityClass;
  readonly urgency: number;
}

const CLASSES: readonly PriorityClass[] = ['urgent', 'standard', 'standard'];
const HIGHEST_URGENCY = 100;

/** Exponent of the popularity distribution. */
const POPULARITY_EXPONENT = 1.6;

/** The adapters of a deployment and how often each is asked for. */
export class Catalogue {
  private entries: readonly CatalogueAdapter[];
  private readonly cumulative: readonly number[];

  constructor(
    private readonly deployment: Deployment,
    size: number,
  ) {
    this.entries = Array.from({length: size}, (_, index) => ({
      adapter: `${deployment.name}-${`${index + 1}`.padStart(5, '0')}`,
      version: 'v1',
      versions: ['v1'],
      priorityClass: CLASSES[index % CLASSES.length] ?? 'standard',
      urgency: HIGHEST_URGENCY - (index % HIGHEST_URGENCY),
    }));
    let total = 0;
    this.cumulative = this.entries.map((_, index) => {
      total += (index + 1) ** -POPULARITY_EXPONENT;
      return total;
    });
  }

  get adapters(): readonly CatalogueAdapter[] {
    return this.entries;
  }

  /** Gives the most popular adapters a new version, not yet in force. */
  beginRollOver(adapters: number, version: string): void {
    this.entries = this.entries.map((entry, index) =>
      index < adapters ? {...entry, versions: [entry.version, version]} : entry,
    );
  }

  /** From now on every host must have the new versions in force. */
  endRollOver(): void {
    this.entries = this.entries.map((entry) => {
      const version = newest(entry);
      return {...entry, version, versions: [version]};
    });
  }

  /** Picks an adapter by popularity. */
  pick(random: Random): CatalogueAdapter {
    const total = this.cumulative.at(-1) ?? 0;
    const target = random() * total;
    const index = this.cumulative.findIndex((sum) => sum >= target);
    const adapter = this.entries[Math.max(0, index)];
    if (adapter === undefined) {
      throw new RangeError('the catalogue is empty');
    }
    return adapter;
  }

  /** The sheet that describes the catalogue, as CSV. */
  toSheet(): string {
    const {baseModel, pools} = this.deployment;
    const service = pools.find(({kind}) => kind === 'engine')?.pool ?? '';
    const rows = this.entries.map((entry) =>
      [
        entry.adapter,
        baseModel,
        newest(entry),
        entry.urgency,
        entry.priorityClass,
        service,
        'no',
      ].join(','),
    );
    const header = 'adapter,base_model,version,urgency,priority,service,retire';
    return `${[header, ...rows].join('\n')}\n`;
  }
}

const newest = ({version, versions}: CatalogueAdapter): string =>
  versions.at(-1) ?? version;
