import {Command} from 'commander';

import {capacityCommand} from './capacity/index.js';
import {dataPathCommand} from './data-path/index.js';

await new Command('bench')
  .description('Measurements of basilworks.')
  .addCommand(dataPathCommand())
  .addCommand(capacityCommand())
  .parseAsync();
