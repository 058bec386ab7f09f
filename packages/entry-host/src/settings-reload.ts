import type {EntryHostSettings} from './settings-schema.js';

/** Settings that can change while the process runs. */
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

/** Result of reloading a settings file. */
export interface SettingsReload {
  /** The settings in effect after the reload. */
  readonly settings: EntryHostSettings;
  /** Names of changed settings that take effect immediately. */
  readonly applied: readonly string[];
  /** Names of changed settings that take effect after a restart. */
  readonly needRestart: readonly string[];
}

/**
 * Applies the settings that can change while the process runs. All others,
 * such as addresses, names and the machine, keep their values from the start.
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
  const liveSettings: readonly string[] = LIVE_SETTINGS;
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
  // If the new file omits this optional setting, it no longer applies.
  const remaining = {...current};
  delete remaining.keyRevocationMs;
  return {
    settings: {
      ...remaining,
      seeds,
      addressLifetimeS,
      stopGraceS,
      orderLeaseMs,
      newsBounds,
      retryBudget,
      quotaTolerance,
      ...(keyRevocationMs === undefined ? {} : {keyRevocationMs}),
    },
    applied: changed.filter((name) => liveSettings.includes(name)),
    needRestart: changed.filter((name) => !liveSettings.includes(name)),
  };
};
