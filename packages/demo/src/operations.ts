/** Operations of the plain services that the demo calls. */
export const OPERATIONS = [
  {operation: 'lookup', idempotent: true},
  {operation: 'top-up', idempotent: false},
] as const;
export type DemoOperation = (typeof OPERATIONS)[number];
