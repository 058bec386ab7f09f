import {Command} from 'commander';

import {dataPathCommand} from './data-path/index.js';

await new Command('bench')
  .description('Measurements of basilworks.')
  .addCommand(dataPathCommand())
  .parseAsync();
