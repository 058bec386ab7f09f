import {
  CONFIGURATION_HEAD,
  configurationHeadSchema,
  configurationRevision,
  mayAct,
} from '@basilworks/core';

import type {Fleet} from '../fleet/fleet.js';
import type {Violation} from './violation.js';

/**
 * Some time after the last fault, every engine has one host that may send to
 * it, and every host holds the platform's revision.
 */
export const checkSettled = (fleet: Fleet): readonly Violation[] => [
  ...checkOwners(fleet),
  ...checkRevisions(fleet),
];

const checkOwners = (fleet: Fleet): readonly Violation[] =>
  [...fleet.servers]
    .filter(([, {description}]) => description.kind === 'engine')
    .flatMap(([server]) => {
      const owners = fleet.hosts.filter((host) =>
        mayAct(host.state, server, host.now()),
      );
      return owners.length === 1
        ? []
        : [notSettled(fleet, `${server} has ${owners.length} owners`)];
    });

const checkRevisions = (fleet: Fleet): readonly Violation[] => {
  const {kind, name} = CONFIGURATION_HEAD;
  const value = fleet.store.peek(kind, name)?.value;
  const revision =
    value === undefined
      ? 0
      : configurationHeadSchema.parse(JSON.parse(value)).revision;
  return fleet.hosts.flatMap((host) => {
    const held = configurationRevision(host.state);
    return held === revision
      ? []
      : [notSettled(fleet, `${host.name} has ${held}, not ${revision}`)];
  });
};

const notSettled = ({scheduler}: Fleet, detail: string): Violation => ({
  promise: 'not-settled',
  atMs: scheduler.nowMs(),
  detail,
});
