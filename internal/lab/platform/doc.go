// Package platform is a stand-in for the platform's list of live and leaving
// machines. Its answers lag behind the changes that it takes.
package platform
