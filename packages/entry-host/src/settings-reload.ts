import type {EntryHostSettings} from './settings-schema.js';

/** Settings that take effect while the process runs. */
const LIVE_SETTINGS = [
  'seeds',
  'addressLifetimeS',
  'stopGraceS',
  'orderLeaseMs',
  'newsBounds',
  'retryBudget',
  'keyRevocationMs',
  'quotaTolerance',
] as const satisfies readonly (keyof EntryHostSettings)[];

/** What became of a settings file that was read again. */
export interface SettingsReload {
  /** The settings to go by from now on. */
  readonly settings: EntryHostSettings;
  /** Settings that have changed and take effect. */
  readonly applied: readonly string[];
  /** Settings that have changed and wait for the next start. */
  readonly needRestart: readonly string[];
}

/**
 * Takes over what can change while the process runs. Addresses, names and what
 * belongs to the machine stay as they were at the start.
 */
export const reloadSettings = (
  current: EntryHostSettings,
  next: EntryHostSettings,
): SettingsReload => {
  const names = Object.keys({
    ...current,
    ...next,
  }) as readonly (keyof EntryHostSettings)[];
  const changed = names.filter(
    (name) => JSON.stringify(current[name]) !== JSON.stringify(next[name]),
  );
  const live: readonly string[] = LIVE_SETTINGS;
  const {
    seeds,
    addressLifetimeS,
    stopGraceS,
    orderLeaseMs,
    newsBounds,
    retryBudget,
    keyRevocationMs,
    quotaTolerance,
  } = next;
  // Absent in the file that was read again, it binds no more.
  const kept = {...current};
  delete kept.keyRevocationMs;
  return {
    settings: {
      ...kept,
      seeds,
      addressLifetimeS,
      stopGraceS,
      orderLeaseMs,
      newsBounds,
      retryBudget,
      quotaTolerance,
      ...(keyRevocationMs === undefined ? {} : {keyRevocationMs}),
    },
    applied: changed.filter((name) => live.includes(name)),
    needRestart: changed.filter((name) => !live.includes(name)),
  };
};
