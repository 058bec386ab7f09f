/** Reads the platform's host list; answered by `host-list-read`. */
export interface ReadHostListEffect {
  readonly type: 'read-host-list';
}

/** Sets whether `/readyz` responds with 200, and the reason if not. */
export interface ReadinessEffect {
  readonly type: 'set-readiness';
  readonly ready: boolean;
  readonly reason: string;
}

/** Reports that the graceful shutdown is complete; the process may exit. */
export interface StopCompletedEffect {
  readonly type: 'stop-completed';
}

export type MembershipEffect =
  ReadHostListEffect | ReadinessEffect | StopCompletedEffect;
