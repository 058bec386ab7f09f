import {z} from 'zod';

/** One target service of a route, with its weight. */
export const routeTargetSchema = z.object({
  service: z.string(),
  /** Relative weight; targets with weight 0 get no requests. */
  weight: z.number().nonnegative(),
});

/**
 * How often a request may be executed: `idempotent` any number of times,
 * `non-idempotent` at most once, `stream` at most once unless its route is
 * resumable.
 */
export const requestKindSchema = z.enum([
  'idempotent',
  'non-idempotent',
  'stream',
]);
export type RequestKind = z.infer<typeof requestKindSchema>;

/** Rules for the requests to one host and path prefix. */
export const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Starts and ends with a slash; the longest matching prefix wins. */
  pathPrefix: z.string(),
  kind: requestKindSchema,
  targets: z.array(routeTargetSchema).min(1),
  /** Time within which a request gets its final response, milliseconds. */
  timeoutMs: z.number().positive(),
  /** Target time to the response or a stream's first event, milliseconds. */
  latencyTargetMs: z.number().positive(),
  /** Maximum time between two events of a stream, milliseconds. */
  eventGapMs: z.number().positive().optional(),
  /**
   * Time without an event after which callers abandon a stream, milliseconds.
   */
  abandonMs: z.number().positive().optional(),
  /** Priority among the requests of a service; 0 is the highest. */
  priority: z.number().int().nonnegative(),
  /** Maximum number of servers on which a request may be attempted. */
  maximumAttempts: z.number().int().positive(),
  /** Whether requests share prompt prefixes that servers cache. */
  sticky: z.boolean(),
  /** Whether an interrupted stream may resume on another server. */
  resumable: z.boolean(),
  /** Whether requests need no key even if tenants are configured. */
  open: z.boolean().optional(),
});
export type Route = z.infer<typeof routeSchema>;

/** A base model that the servers of a service have loaded. */
export const modelSchema = z.object({
  name: z.string(),
  /** Size of the weights, megabytes. */
  weightsMb: z.number().nonnegative(),
  /** Size of one of its adapters, megabytes. */
  adapterMb: z.number().nonnegative(),
});

/** Limits of the inference engines of a service. */
export const engineLimitsSchema = z.object({
  /** Maximum adapters on a server, including those being loaded. */
  adapterPlaces: z.number().int().nonnegative(),
  /** Memory for weights and adapters together, megabytes. */
  weightMemoryMb: z.number().nonnegative(),
  models: z.array(modelSchema),
});
export type EngineLimits = z.infer<typeof engineLimitsSchema>;

/** A group of interchangeable upstream servers. */
export const serviceSchema = z.object({
  name: z.string(),
  /** Path of the health check. */
  healthPath: z.string(),
  /** Maximum connections that a server accepts from all clients together. */
  maximumConnections: z.number().int().positive(),
  engine: engineLimitsSchema.optional(),
});
export type Service = z.infer<typeof serviceSchema>;

/** Quota of a tenant across all hosts. */
export const tenantQuotaSchema = z.object({
  /** Unit of the rate and the burst. */
  unit: z.enum(['requests', 'tokens']),
  perSecond: z.number().positive(),
  /** Amount that may be used at once after an idle period. */
  burst: z.number().nonnegative(),
  /** Tokens charged for a request that does not report its usage. */
  plainTokens: z.number().nonnegative(),
});
export type TenantQuota = z.infer<typeof tenantQuotaSchema>;

/** A customer of the operator, identified by its API keys. */
export const tenantSchema = z.object({
  name: z.string().min(1),
  /** SHA-256 of each key, base64url; the keys themselves are not stored. */
  keyDigests: z.array(z.string().length(43)),
  /** Overrides the priority of the route; 0 is the highest. */
  priority: z.number().int().nonnegative().optional(),
  /** Absent if usage is unlimited. */
  quota: tenantQuotaSchema.optional(),
});
export type Tenant = z.infer<typeof tenantSchema>;

/** Limits on the size and timing of what a caller sends. */
export const callerLimitsSchema = z.object({
  maximumHeaderBytes: z.number().int().positive(),
  maximumBodyBytes: z.number().int().positive(),
  headerTimeoutMs: z.number().positive(),
  idleTimeoutMs: z.number().positive(),
});
export type CallerLimits = z.infer<typeof callerLimitsSchema>;

/** The operator's configuration, at one version. */
export const servingConfigurationSchema = z.object({
  version: z.number(),
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  limits: callerLimitsSchema,
  /** If present, requests need a tenant's key, except on open routes. */
  tenants: z.array(tenantSchema).optional(),
});
export type ServingConfiguration = z.infer<typeof servingConfigurationSchema>;

/**
 * Returns how many adapters fit on a server besides the model weights, limited
 * by the adapter slots and by the remaining memory.
 */
export const adapterCapacity = (engine: EngineLimits): number => {
  const weightsMb = engine.models.reduce(
    (sum, model) => sum + model.weightsMb,
    0,
  );
  const largestMb = Math.max(
    0,
    ...engine.models.map(({adapterMb}) => adapterMb),
  );
  const freeMb = Math.max(0, engine.weightMemoryMb - weightsMb);
  const byMemory = largestMb === 0 ? Infinity : Math.floor(freeMb / largestMb);
  return Math.min(engine.adapterPlaces, byMemory);
};
