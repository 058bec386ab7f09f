import {Command} from 'commander';

import {capacityCommand} from './capacity/index.js';
import {dataPathCommand} from './data-path/index.js';
import {decisionsCommand} from './decisions/index.js';
import {entryHostCommand} from './entry-host/index.js';
import {policyCommand} from './policy/index.js';

await new Command('bench')
  .description('Measurements of basilworks.')
  .addCommand(capacityCommand())
  .addCommand(dataPathCommand())
  .addCommand(decisionsCommand())
  .addCommand(entryHostCommand())
  .addCommand(policyCommand())
  .parseAsync();
