import type {Effect} from '@basilworks/core';

import type {Authenticator} from './http/authentication.js';
import type {CallerApp} from './http/caller-app.js';
import type {Ingress} from './ingress/ingress.js';
import type {RunnersOf} from './runner-table.js';

/** Adds the routes of one part. */
export type RegisterRoutes = (app: CallerApp) => void;

/** A part of the daemon: runners of some effects, and HTTP routes. */
export interface Part<Type extends Effect['type']> {
  readonly runners: RunnersOf<Type>;
  readonly registerRoutes: RegisterRoutes;
}

/** What parts use of one another. */
export interface PartTools {
  readonly ingress: Ingress;
  readonly authenticator: Authenticator;
}
