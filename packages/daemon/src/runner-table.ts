import type {Effect, Instant} from '@basilworks/core';

/** Runs one type of effect in the turn that produced it. */
export type EffectRunner<Type extends Effect['type']> = (
  effect: Extract<Effect, {readonly type: Type}>,
  /** The clocks as read at the start of the turn. */
  at: Instant,
) => void;

/** Runners by effect type. */
export type RunnerTable = {
  readonly [Type in Effect['type']]: EffectRunner<Type>;
};

/** The runners of one part of the daemon. */
export type RunnersOf<Type extends Effect['type']> = Pick<RunnerTable, Type>;
