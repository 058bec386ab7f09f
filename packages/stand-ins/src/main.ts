import {Command} from 'commander';

import {
  AL_HAJAR,
  type Deployment,
  deploymentSchema,
  HALLORAN,
} from './deployments.js';
import {controlRoutes} from './http/control-routes.js';
import type {StandInAddresses} from './http/control-protocol.js';
import {StandInPlatform} from './stand-in-platform.js';

const named = [HALLORAN, AL_HAJAR];

const parseDeployment = (text: string): Deployment =>
  named.find(({name}) => name === text) ??
  deploymentSchema.parse(JSON.parse(text));

const start = async (deployment: Deployment): Promise<void> => {
  const platform = await StandInPlatform.start(deployment);
  const control = await platform.listen(controlRoutes(platform));
  const addresses: StandInAddresses = {
    objectApi: platform.objectApiAddress,
    hostList: platform.hostListAddress,
    control,
    servers: platform.servers().map(({server, address}) => ({server, address})),
  };
  process.stdout.write(`${JSON.stringify(addresses)}\n`);
  process.on('SIGTERM', () => {
    platform.close();
  });
};

await new Command('stand-ins')
  .description('Starts stand-ins of every outside system on loopback.')
  .option(
    '--deployment <name or JSON>',
    'halloran, al-hajar, or a deployment as JSON',
    parseDeployment,
    HALLORAN,
  )
  .action(async ({deployment}: {readonly deployment: Deployment}) => {
    await start(deployment);
  })
  .parseAsync();
