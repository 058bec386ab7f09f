/** Asks the daemon to read the platform's host list. */
export interface ReadHostListEffect {
  readonly type: 'read-host-list';
}

/** Sets whether `/readyz` answers 200 and why not. */
export interface ReadinessEffect {
  readonly type: 'set-readiness';
  readonly ready: boolean;
  readonly reason: string;
}

/** The graceful shutdown is complete; the process may exit. */
export interface StopCompletedEffect {
  readonly type: 'stop-completed';
}

export type MembershipEffect =
  ReadHostListEffect | ReadinessEffect | StopCompletedEffect;
