/** Generates the settings page of the operators' manual from the schema. */
import {writeFileSync} from 'node:fs';

import {settingsReference} from '../packages/daemon/dist/settings-reference.js';

writeFileSync(
  new URL('../docs/operators/settings.md', import.meta.url),
  settingsReference(),
);
