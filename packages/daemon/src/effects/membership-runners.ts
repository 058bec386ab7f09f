import type {DaemonContext} from '../context.js';
import type {RunnersOf} from '../runner-table.js';

/** Host list, readiness and the end of a planned stop. */
export const createMembershipRunners = (
  context: DaemonContext,
  onStopCompleted: () => void,
): RunnersOf<'read-host-list' | 'set-readiness' | 'stop-completed'> => ({
  'read-host-list': () => {
    void readHostList(context);
  },
  'set-readiness': ({ready, reason}) => {
    context.readiness.set(ready, reason);
    context.logger.info('readiness changed', {ready, reason});
  },
  'stop-completed': () => {
    onStopCompleted();
  },
});

const readHostList = async ({loop, platform}: DaemonContext): Promise<void> => {
  const hostList = await platform.hostList.read();
  loop.post({type: 'host-list-read', hostList});
};
