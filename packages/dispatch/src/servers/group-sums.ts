import {elapsedMs, type Instant} from '@basilworks/core';

/**
 * Age from which figures are dropped, milliseconds: several rounds of
 * exchanges.
 */
const VALIDITY_MS = 4_000;

interface Aged<Figure> {
  readonly figure: Figure;
  readonly at: Instant;
}

/** Sum of the figures of the hosts of one group. */
export type GroupFigure<Figure> = Figure & {readonly group: string};

/**
 * Sums of figures over the whole fleet. Hosts report to the leader of their
 * group; leaders sum up the reports and exchange the sums. Every host thus
 * receives one figure per group, however many hosts there are.
 */
export class GroupSums<Figure extends object> {
  private readonly hostFigures = new Map<string, Aged<readonly Figure[]>>();
  private readonly groups = new Map<string, Aged<GroupFigure<Figure>>>();

  constructor(
    /** Key of a figure; figures with equal keys are summed up. */
    private readonly keyOf: (figure: Figure) => string,
    private readonly add: (sum: Figure, figure: Figure) => Figure,
  ) {}

  /** Records the figures of a host of the group. */
  applyHostFigures(host: string, figure: readonly Figure[], at: Instant): void {
    this.hostFigures.set(host, {figure, at});
  }

  /**
   * Applies the figure of a group as relayed by another host, as of `at`,
   * unless a newer one is known.
   */
  applyGroupFigure(figure: GroupFigure<Figure>, at: Instant): void {
    const key = `${figure.group} ${this.keyOf(figure)}`;
    const known = this.groups.get(key);
    if (known === undefined || elapsedMs(known.at, at) > 0) {
      this.groups.set(key, {figure, at});
    }
  }

  /** Sums up the figures that the hosts of this host's group reported. */
  aggregate(group: string, at: Instant): void {
    const sums = new Map<string, Figure>();
    dropExpired(this.hostFigures, at);
    for (const {figure: figures} of this.hostFigures.values()) {
      for (const figure of figures) {
        const key = this.keyOf(figure);
        const sum = sums.get(key);
        sums.set(key, sum === undefined ? figure : this.add(sum, figure));
      }
    }
    for (const sum of sums.values()) {
      this.applyGroupFigure({...sum, group}, at);
    }
  }

  /**
   * Returns the unexpired figures of all groups, with their ages in
   * milliseconds.
   */
  groupFigures(
    at: Instant,
  ): readonly (GroupFigure<Figure> & {readonly ageMs: number})[] {
    dropExpired(this.groups, at);
    return [...this.groups.values()].map(({figure, at: since}) => ({
      ...figure,
      ageMs: Math.max(0, elapsedMs(since, at)),
    }));
  }
}

const dropExpired = (
  figures: Map<string, Aged<unknown>>,
  at: Instant,
): void => {
  for (const [key, {at: since}] of figures) {
    if (elapsedMs(since, at) >= VALIDITY_MS) {
      figures.delete(key);
    }
  }
};
