import type {Route, Service, ServingConfiguration} from './configuration.js';

/** Routes and services of one configuration, indexed for lookup. */
export class RouteTable {
  private readonly byHost = new Map<string, Route[]>();
  private readonly services = new Map<string, Service>();

  constructor(readonly configuration: ServingConfiguration) {
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      const routes = this.byHost.get(host) ?? [];
      routes.push(route);
      this.byHost.set(host, routes);
    }
    for (const routes of this.byHost.values()) {
      routes.sort(
        (first, second) => second.pathPrefix.length - first.pathPrefix.length,
      );
    }
    for (const service of configuration.services) {
      this.services.set(service.name, service);
    }
  }

  /** Returns the route with the longest matching path prefix, if any. */
  match(hostHeader: string, target: string): Route | undefined {
    const host = hostHeader.replace(/:\d+$/, '').toLowerCase();
    const path = target.split('?', 1)[0] ?? target;
    return this.byHost
      .get(host)
      ?.find(({pathPrefix}) => path.startsWith(pathPrefix));
  }

  service(name: string): Service | undefined {
    return this.services.get(name);
  }
}

/** Returns the service at `fraction`, 0 to 1, of a route's total weight. */
export const chooseTarget = (
  {targets}: Route,
  fraction: number,
): string | undefined => {
  const total = targets.reduce((sum, {weight}) => sum + weight, 0);
  let remaining = fraction * total;
  for (const {service, weight} of targets) {
    remaining -= weight;
    if (weight > 0 && remaining <= 0) {
      return service;
    }
  }
  return targets.findLast(({weight}) => weight > 0)?.service;
};
