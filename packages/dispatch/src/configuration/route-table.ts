import type {Route, Service, ServingConfiguration} from './configuration.js';

/** Routes of one configuration, arranged for look-up. */
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

  /** Returns the route with the longest prefix of the path, if any. */
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

/** Returns the service at `fraction`, 0 to 1, of the weights of a route. */
export const chooseTarget = (
  {targets}: Route,
  fraction: number,
): string | undefined => {
  const total = targets.reduce((sum, {weight}) => sum + weight, 0);
  let left = fraction * total;
  for (const {service, weight} of targets) {
    left -= weight;
    if (weight > 0 && left <= 0) {
      return service;
    }
  }
  return targets.findLast(({weight}) => weight > 0)?.service;
};
