import {elapsedMs, type Instant} from '@basilworks/core';

/** Figures that are older are not counted, ms: some rounds of exchanges. */
const VALIDITY_MS = 4_000;

interface Aged<Figure> {
  readonly figure: Figure;
  readonly at: Instant;
}

/** What the hosts of one group told together. */
export type GroupFigure<Figure> = Figure & {readonly group: string};

/**
 * Sums of figures over the whole fleet. Hosts tell the leader of their group,
 * leaders sum up and tell each other, so that every host learns one figure a
 * group, however many hosts there are.
 */
export class GroupSums<Figure extends object> {
  private readonly told = new Map<string, Aged<readonly Figure[]>>();
  private readonly groups = new Map<string, Aged<GroupFigure<Figure>>>();

  constructor(
    /** What a figure is of; figures of the same are summed up. */
    private readonly keyOf: (figure: Figure) => string,
    private readonly add: (sum: Figure, figure: Figure) => Figure,
  ) {}

  /** A host of the group tells its own figures. */
  applyHostFigures(host: string, figure: readonly Figure[], at: Instant): void {
    this.told.set(host, {figure, at});
  }

  /** Another host passes on what it knows of a group, as of `at`. */
  applyGroupFigure(figure: GroupFigure<Figure>, at: Instant): void {
    const key = `${figure.group} ${this.keyOf(figure)}`;
    const known = this.groups.get(key);
    if (known === undefined || elapsedMs(known.at, at) > 0) {
      this.groups.set(key, {figure, at});
    }
  }

  /** Sums up what the hosts of this host's group told. */
  aggregate(group: string, at: Instant): void {
    const sums = new Map<string, Figure>();
    dropOld(this.told, at);
    for (const {figure: figures} of this.told.values()) {
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

  /** What is known of all groups, with its age in milliseconds. */
  groupFigures(
    at: Instant,
  ): readonly (GroupFigure<Figure> & {readonly ageMs: number})[] {
    dropOld(this.groups, at);
    return [...this.groups.values()].map(({figure, at: since}) => ({
      ...figure,
      ageMs: Math.max(0, elapsedMs(since, at)),
    }));
  }
}

const dropOld = (figures: Map<string, Aged<unknown>>, at: Instant): void => {
  for (const [key, {at: since}] of figures) {
    if (elapsedMs(since, at) >= VALIDITY_MS) {
      figures.delete(key);
    }
  }
};
